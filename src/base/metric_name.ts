import type { METRIC_CATALOGUE } from "./metric_catalogue.ts";

type Catalogue = typeof METRIC_CATALOGUE;

/** Names of the metrics of one kind. */
export type MetricName<Kind extends Catalogue[keyof Catalogue]["kind"]> = {
  [Name in keyof Catalogue]: Catalogue[Name]["kind"] extends Kind ? Name
    : never;
}[keyof Catalogue];

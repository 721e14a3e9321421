import { catalogueFor } from "../../dev/deployment/catalogue_for.ts";
import type { Preset } from "../../dev/deployment/preset.ts";
import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";

/**
 * @param preset - the deployment
 * @returns the deployment's catalogue, with queues and deadlines that no test
 * reaches, so that a slow computer delays requests but refuses none
 */
export function longTimeoutCatalogue(preset: Preset): CatalogueDocument {
  const document = catalogueFor(preset);
  for (const service of Object.values(document.services)) {
    service.queue = 2000;
    service.maxRunMs = 60_000;
  }
  for (const { limits } of Object.values(document.entries)) {
    limits.maxRequestMs = 60_000;
  }
  return document;
}

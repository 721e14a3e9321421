/** Tags of a metric; never a key, path, query or entry. */
export type MetricTags = { region: string; service?: string };

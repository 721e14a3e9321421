/** One difference between two catalogue documents. */
export type CatalogueChange =
  | { kind: "added"; path: (string | number)[]; after: unknown }
  | { kind: "removed"; path: (string | number)[]; before: unknown }
  | {
    kind: "changed";
    path: (string | number)[];
    before: unknown;
    after: unknown;
  };

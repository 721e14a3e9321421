import assert from "node:assert/strict";
import { test } from "node:test";
import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { diffCatalogues } from "../../src/catalogue/diff_catalogues.ts";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";

const base = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();

const cases: {
  name: string;
  change: (document: CatalogueDocument) => void;
  expected: string[];
}[] = [
  { name: "no change", change: () => undefined, expected: [] },
  {
    name: "a removed entry",
    change: (document) => {
      delete document.entries.search;
    },
    expected: ["removed entries.search"],
  },
  {
    name: "a changed limit, and home regions in another order",
    change: (document) => {
      const entry = document.entries["bookings-web"]!;
      entry.limits.ratePerS = 7;
      entry.homeRegions.reverse();
    },
    expected: [
      "changed entries.bookings-web.homeRegions",
      "changed entries.bookings-web.limits.ratePerS",
    ],
  },
  {
    name: "an added optional field",
    change: (document) => {
      document.entries.search!.match.host = "a.example";
    },
    expected: ["added entries.search.match.host"],
  },
  {
    name: "failure domains and VMs taken out of service",
    change: (document) => {
      document.out = { failureDomains: ["a", "b"], vms: ["v"] };
    },
    expected: [
      "added out.failureDomains.a",
      "added out.failureDomains.b",
      "added out.vms.v",
    ],
  },
];

for (const { name, change, expected } of cases) {
  test(`diff: ${name}`, () => {
    const after = structuredClone(base);
    change(after);
    const show = (list: ReturnType<typeof diffCatalogues>) =>
      list.map(({ kind, path }) => `${kind} ${path.join(".")}`);
    assert.deepEqual(show(diffCatalogues(base, after)), expected);
    // The reverse difference has as many changes.
    assert.equal(diffCatalogues(after, base).length, expected.length);
  });
}

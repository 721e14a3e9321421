import assert from "node:assert/strict";
import { test } from "node:test";
import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { diffCatalogues } from "../../src/catalogue/diff_catalogues.ts";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";

const base = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();

const cases: {
  guards: string;
  change: (document: CatalogueDocument) => void;
  expected: string[];
}[] = [
  { guards: "no change", change: () => undefined, expected: [] },
  {
    guards: "an entry that disappears",
    change: (document) => {
      delete document.entries.search;
    },
    expected: ["removed entries.search"],
  },
  {
    guards: "a changed limit, and home regions in another order",
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
    guards: "an optional field that appears",
    change: (document) => {
      document.entries.search!.match.host = "a.example";
    },
    expected: ["added entries.search.match.host"],
  },
  {
    guards: "names taken out and in",
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

for (const { guards, change, expected } of cases) {
  test(`diff: ${guards}`, () => {
    const after = structuredClone(base);
    change(after);
    const show = (list: ReturnType<typeof diffCatalogues>) =>
      list.map(({ kind, path }) => `${kind} ${path.join(".")}`);
    assert.deepEqual(show(diffCatalogues(base, after)), expected);
    // The way back has the same places.
    assert.equal(diffCatalogues(after, base).length, expected.length);
  });
}

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { CatalogueRow } from "../../src/catalogue/catalogue_row.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { CompiledCatalogue } from "../../src/catalogue/compiled_catalogue.ts";
import { EntryMatcher } from "../../src/catalogue/entry_matcher.ts";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";

const document = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();
const compiled = new CompiledCatalogue(document);

const cases: {
  name: string;
  host?: string;
  target: string;
  entry: string | undefined;
}[] = [
  {
    name: "the longest prefix wins",
    target: "/bookings/7?x=1",
    entry: "bookings-web",
  },
  {
    name: "a prefix matches whole segments only",
    target: "/bookings2/7",
    entry: "search",
  },
  {
    name: "an entry with host is not used for another host",
    host: "www.example",
    target: "/bookings/bulk/7",
    entry: "bookings-web",
  },
  {
    name:
      "an entry with host has precedence, whatever the host's case and port",
    host: "Bulk.Example.:8080",
    target: "/bookings/bulk",
    entry: "bookings-bulk",
  },
  {
    name: "a known host without a matching path uses entries without host",
    host: "bulk.example",
    target: "/bookings/7",
    entry: "bookings-web",
  },
  {
    name: "a percent-encoded path matches the entry of the decoded one",
    target: "/b%6Fokings/7",
    entry: "bookings-web",
  },
  {
    name: "a path with `..`, which an upstream could resolve, has no entry",
    target: "/search/%2e%2e/bookings/7",
    entry: undefined,
  },
  {
    name: "a path with invalid percent-encoding has no entry",
    target: "/bookings/%zz",
    entry: undefined,
  },
  { name: "an asterisk target has no entry", target: "*", entry: undefined },
  {
    name: "a query is not matched as a path",
    target: "/?/bookings/7",
    entry: "search",
  },
];

for (const { name, host, target, entry } of cases) {
  test(`match: ${name}`, () => {
    assert.equal(compiled.match(host, target)?.name, entry);
  });
}

test("matching agrees with a linear search over all prefixes", () => {
  const path = (segments: string[]) =>
    fc.array(fc.constantFrom(...segments), { maxLength: 4 })
      .map((parts) => `/${parts.join("/")}`);
  const prefix = fc.tuple(path(["a", "b", "ab"]), fc.constantFrom("", "/"))
    .map(([text, end]) => text === "/" ? text : text + end);
  fc.assert(fc.property(
    fc.uniqueArray(prefix, { maxLength: 8 }),
    path(["a", "b", "ab", ""]),
    (prefixes, target) => {
      const template = document.entries.search!;
      const many = new CompiledCatalogue({
        ...document,
        entries: Object.fromEntries(
          prefixes.map((pathPrefix, position) => [
            `e${position}`,
            { ...template, match: { pathPrefix } },
          ]),
        ),
      });
      const withSlash = (text: string) =>
        text.endsWith("/") ? text : `${text}/`;
      const longest = Math.max(
        -1,
        ...prefixes.filter((one) =>
          withSlash(target).startsWith(withSlash(one))
        )
          .map((one) => withSlash(one).length),
      );
      const found = many.match(undefined, target)?.entry.match.pathPrefix;
      assert.equal(found === undefined ? -1 : withSlash(found).length, longest);
    },
  ));
});

test("requests match a new version as soon as it is in force", () => {
  const view = new CatalogueView();
  const matcher = new EntryMatcher(view);
  assert.equal(matcher.match(undefined, "/bookings/7"), undefined);
  const row: CatalogueRow = {
    schema: 1,
    version: 1,
    author: "ana",
    at: "",
    writeId: "a",
    document,
  };
  view.adopt(row);
  assert.equal(matcher.match(undefined, "/x")?.name, "search");
  const entries = structuredClone(document.entries);
  delete entries.search;
  view.adopt({ ...row, version: 2, document: { ...document, entries } });
  assert.equal(matcher.match(undefined, "/x"), undefined);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { formatDocumentError } from "../../src/settings/format_document_error.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";

test("a valid document is accepted as YAML and as JSON", () => {
  const yaml = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();
  const json = parseCatalogue("a.json", JSON.stringify(yaml, null, "\t"));
  assert.deepEqual(json._unsafeUnwrap(), yaml);
  assert.equal(yaml.services.bookings?.shards, 512);
});

const invalid: {
  name: string;
  change: [string, string];
  expected: string[];
}[] = [
  {
    name: "a service that does not exist",
    change: ["service: search", "service: find"],
    expected: [
      'a.yaml: entries.search.service: found "find", allowed is a service of',
    ],
  },
  {
    name: "a missing service with the name of an inherited property",
    change: ["service: search", "service: constructor"],
    expected: ['a.yaml: entries.search.service: found "constructor"'],
  },
  {
    name: "entries of one service with different home regions, which would" +
      " give a key two owners",
    change: [
      "homeRegions: [sierra, costa]\n    idempotent: true",
      "homeRegions: [costa, sierra]\n    idempotent: true",
    ],
    expected: [
      "a.yaml: entries.bookings-bulk.homeRegions: found [costa, sierra], " +
      "allowed is [sierra, costa] as in entry bookings-web",
    ],
  },
  {
    name: "entries of one service, one with and one without a key",
    change: ["{kind: header, name: x-booking}", "{kind: none}"],
    expected: ["a.yaml: entries.bookings-bulk.keySource.kind: found none"],
  },
  {
    name: "entries of one service that differ in checksGrants",
    change: [
      "idempotent: true\n    checksGrants: true",
      "idempotent: true\n    checksGrants: false",
    ],
    expected: ["a.yaml: entries.bookings-bulk.checksGrants: found false"],
  },
  {
    name: "two entries for the same requests, different only in letter " +
      "case, encoding and a slash at the end",
    change: [
      "match: {pathPrefix: /}",
      "match: {pathPrefix: /b%6Fokings/bulk/, host: BULK.example.}",
    ],
    expected: ["a.yaml: entries.search.match: found the same host and path"],
  },
  {
    name: "a prefix that no request can match",
    change: ["{pathPrefix: /}", '{pathPrefix: "/a/../b?c"}'],
    expected: ["a.yaml: entries.search.match.pathPrefix: found"],
  },
  {
    name: "a host with a port, which no request can match",
    change: ["host: bulk.example", 'host: "bulk.example:80"'],
    expected: ["a.yaml: entries.bookings-bulk.match.host: found"],
  },
  {
    name: "a repeated home region, which would get two shares of a limit",
    change: ["homeRegions: [sierra]", "homeRegions: [sierra, sierra]"],
    expected: ["a.yaml: entries.search.homeRegions[1]: found the repeated"],
  },
  {
    name: "an unknown variant, listing the known ones",
    change: ["{kind: none}", "{kind: cookie}"],
    expected: [
      'a.yaml:31: entries.search.keySource.kind: found "cookie", allowed is' +
      ' one of "header", "path", "query", "none"',
    ],
  },
  {
    name: "an unknown key of a variant, listing the known ones",
    change: ["segment: 1", "segment: 1, part: 2"],
    expected: [
      "a.yaml:11: entries.bookings-web.keySource.part: found an unknown key, " +
      'allowed is one of "kind", "segment"',
    ],
  },
  {
    name: "an invalid entry name",
    change: ["  search:\n    owner", "  Search:\n    owner"],
    expected: ['a.yaml:27: entries.Search: found the key "Search", allowed'],
  },
];

for (const { name, change: [from, to], expected } of invalid) {
  test(`refused: ${name}`, () => {
    assert.ok(CATALOGUE_TEXT.includes(from));
    const text = CATALOGUE_TEXT.replace(from, to);
    const error = parseCatalogue("a.yaml", text)._unsafeUnwrapErr();
    const lines = formatDocumentError(error).split("\n");
    assert.equal(lines.length, expected.length, lines.join("\n"));
    for (const [position, part] of expected.entries()) {
      assert.equal(lines[position]?.slice(0, part.length), part);
    }
  });
}

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { formatDocumentError } from "../../src/settings/format_document_error.ts";
import { loadSettings } from "../../src/settings/load_settings.ts";
import { parseSettings } from "../../src/settings/parse_settings.ts";

const VALID = `schema: 1
vm: entry-1
region: sierra
failureDomain: sierra-a
listen:
  callers: 10.0.0.4:8080
  peers: 10.0.0.4:8081
platform:
  tableService: http://10.0.0.2:9000
  objectStore: http://10.0.0.2:9001
  vmList: http://10.0.0.2:9002
peers:
  credentialFile: /run/peer
`;

test("defaults are filled in, so that a short file is enough", () => {
  const cfg = parseSettings("a.yaml", VALID)._unsafeUnwrap();
  assert.equal(cfg.listen.admin, "127.0.0.1:8089");
  assert.equal(cfg.timing.dispatchTtlMs, 2000);
  assert.deepEqual(cfg.admin.operators, []);
});

const invalid: {
  name: string;
  text: string;
  expected: string[];
}[] = [
  {
    name: "a syntax error is reported with its line",
    text: `${VALID}log: [\n`,
    expected: ["a.yaml:15: found Flow sequence"],
  },
  {
    name: "a repeated key does not silently replace the first",
    text: `${VALID}vm: entry-2\n`,
    expected: ["a.yaml:14: found Map keys must be unique"],
  },
  {
    name: "an empty file is reported as such",
    text: "",
    expected: ["a.yaml: found null, allowed is a mapping"],
  },
  {
    name:
      "a newer schema is reported alone, without problems that follow from it",
    text: VALID.replace("schema: 1", "schema: 2").replace("vm:", "node:"),
    expected: [
      "a.yaml:1: schema: found 2, newer than this program supports, " +
      "allowed is 1",
    ],
  },
  {
    name: "an older schema is reported as older",
    text: VALID.replace("schema: 1", "schema: 0"),
    expected: ["a.yaml:1: schema: found 0, older than this program supports"],
  },
  {
    name: "a schema number of another type is reported",
    text: VALID.replace("schema: 1", 'schema: "1"'),
    expected: ['a.yaml:1: schema: found "1", allowed is 1'],
  },
  {
    name: "all problems are reported at once, unknown keys with the known ones",
    text: VALID.replace("region: sierra", "region: Sierra")
      .replace("10.0.0.4:8080", "localhost:8080")
      .replace("credentialFile", "credentialPath") +
      "timing:\n  dispatchTtlMs: 0\nlog:\n  level: loud\n",
    expected: [
      'a.yaml:3: region: found "Sierra", allowed is 1 to 63',
      'a.yaml:6: listen.callers: found "localhost:8080", allowed is IP:PORT',
      "a.yaml:13: peers.credentialFile: found nothing, allowed is a string",
      "a.yaml:13: peers.credentialPath: found an unknown key, allowed is " +
      '"credentialFile"',
      'a.yaml:17: log.level: found "loud", allowed is one of "debug"',
      "a.yaml:15: timing.dispatchTtlMs: found 0, allowed is a number above 0",
    ],
  },
  {
    name: "an IP address or port out of range is refused before listening",
    text: VALID.replace("10.0.0.4:8080", "10.0.0.400:8080")
      .replace("10.0.0.4:8081", "10.0.0.4:65536"),
    expected: [
      'a.yaml:6: listen.callers: found "10.0.0.400:8080", allowed is IP:PORT',
      'a.yaml:7: listen.peers: found "10.0.0.4:65536", allowed is IP:PORT',
    ],
  },
  {
    name: "a credential in place of its SHA-256 is not shown",
    text: `${VALID}admin:\n  operators:\n  - {name: ana, sha256: secret}\n`,
    expected: [
      "a.yaml:16: admin.operators[0].sha256: found another value, allowed is " +
      "64 lower-case hex",
    ],
  },
];

for (const { name, text, expected } of invalid) {
  test(name, () => {
    const error = parseSettings("a.yaml", text)._unsafeUnwrapErr();
    const lines = formatDocumentError(error).split("\n");
    assert.equal(lines.length, expected.length, lines.join("\n"));
    for (const part of expected) {
      assert.ok(
        lines.some((line) => line.startsWith(part)),
        `${part}\nis missing in\n${lines.join("\n")}`,
      );
    }
  });
}

test("a missing file is reported by name and does not throw", async () => {
  const result = await loadSettings("/nonexistent/a.yaml");
  assert.equal(
    formatDocumentError(result._unsafeUnwrapErr()),
    "/nonexistent/a.yaml: found no such file, allowed is a readable file",
  );
});

test("parsing does not throw for any text", () => {
  fc.assert(fc.property(
    fc.oneof(
      fc.string(),
      fc.json(),
      fc.constantFrom(
        "a: &a [*a]",
        "a: *b",
        "[".repeat(20_000),
        "__proto__: {vm: x}",
        "a: !!binary x",
      ),
    ),
    (text) => {
      const result = parseSettings("a.yaml", text);
      if (result.isErr()) {
        assert.notEqual(formatDocumentError(result.error), "");
      }
    },
  ));
});

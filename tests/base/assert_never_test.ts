import assert from "node:assert/strict";
import { test } from "node:test";
import { assertNever } from "../../src/base/assert_never.ts";

test("a variant that no case handles stops the process", () => {
  assert.throws(() => assertNever("other" as never), /unhandled variant/);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { assertNever } from "../../src/base/assert_never.ts";

test("throws for a variant that no case handles", () => {
  assert.throws(() => assertNever("other" as never), /unhandled variant/);
});

// Bundles the router of mode `serve-on-platform` into target/, where the
// platform's build expects all files, and writes its V8 code cache.
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";

const BUNDLE = "target/router.cjs";
const START = "target/start.cjs";

rmSync(`${BUNDLE}.cache`, { force: true });
await build({
  entryPoints: ["platform/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifyWhitespace: true,
  plugins: [{
    name: "slim-libraries",
    setup({ onResolve }) {
      onResolve({ filter: /^undici$/ }, () => ({
        path: resolve("scripts/undici_client.cjs"),
      }));
      // zod loads the messages of all languages; only English ones are used.
      onResolve(
        { filter: /locales\/index\.(c?js)$/ },
        ({ importer }) =>
          importer.includes("/zod/")
            ? { path: resolve("scripts/zod_locales.mjs") }
            : undefined,
      );
    },
  }],
  // bunyan's dtrace-provider is optional and native.
  external: ["dtrace-provider"],
  logLevel: "warning",
});
copyFileSync("scripts/start.cjs", START);
execFileSync(process.execPath, [START, BUNDLE, "--cache"], {
  stdio: "inherit",
});

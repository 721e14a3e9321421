// Bundles the executable and, without --release, the development entry points.
import { existsSync } from "node:fs";
import { build } from "esbuild";

const entryPoints = { fescuerun: "src/main.ts" };
if (!process.argv.includes("--release")) {
  for (const name of ["standins", "demo", "bench", "soak"]) {
    const file = `dev/${name}/main.ts`;
    if (existsSync(file)) entryPoints[name] = file;
  }
}
await build({
  entryPoints,
  outdir: "dist",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // bunyan's dtrace-provider is optional and native.
  external: ["dtrace-provider"],
  logLevel: "warning",
});

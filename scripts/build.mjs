// Builds the single executable dist/fescuerun from the bundle.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";

const require = createRequire(import.meta.url);
// Marks the place in the Node.js executable where postject injects the
// application; the value is fixed by Node.js.
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

function run(args) {
  execFileSync(process.execPath, args, { stdio: "inherit" });
}

run(["scripts/bundle.mjs", "--release"]);
writeFileSync(
  "dist/sea-config.json",
  JSON.stringify({
    main: "dist/fescuerun.cjs",
    output: "dist/fescuerun.blob",
    disableExperimentalSEAWarning: true,
  }),
);
run(["--experimental-sea-config", "dist/sea-config.json"]);
copyFileSync(process.execPath, "dist/fescuerun");
chmodSync("dist/fescuerun", 0o755);
run([
  require.resolve("postject/dist/cli.js"),
  "dist/fescuerun",
  "NODE_SEA_BLOB",
  "dist/fescuerun.blob",
  "--sentinel-fuse",
  SEA_FUSE,
]);

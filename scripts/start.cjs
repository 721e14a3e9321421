// Starts a bundle with the V8 code cache that the build wrote for it, which
// halves the startup time.
//   start.cjs BUNDLE --cache    compiles the bundle and writes BUNDLE.cache
//   start.cjs BUNDLE ARGS...    runs `main` of the bundle with the arguments
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { dirname, resolve } = require("node:path");
const { Script } = require("node:vm");
const Module = require("node:module");

const [bundle, ...args] = process.argv.slice(2);
const file = resolve(bundle);
const cache = `${file}.cache`;
const script = new Script(Module.wrap(readFileSync(file, "utf8")), {
  filename: file,
  ...(existsSync(cache) ? { cachedData: readFileSync(cache) } : {}),
});
const bundleModule = { exports: {} };
script.runInThisContext()(
  bundleModule.exports,
  Module.createRequire(file),
  bundleModule,
  file,
  dirname(file),
);
if (args[0] === "--cache") {
  writeFileSync(cache, script.createCachedData());
} else {
  void bundleModule.exports.main(args);
}

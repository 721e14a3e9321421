// Starts a bundle with the code that V8 compiled for it at the build, which
// halves the time to start.
//   start.cjs BUNDLE --cache    compiles and writes BUNDLE.cache
//   start.cjs BUNDLE ARGS...    runs the bundle's main with the arguments
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
const module_ = { exports: {} };
script.runInThisContext()(
  module_.exports,
  Module.createRequire(file),
  module_,
  file,
  dirname(file),
);
if (args[0] === "--cache") {
  writeFileSync(cache, script.createCachedData());
} else {
  void module_.exports.main(args);
}

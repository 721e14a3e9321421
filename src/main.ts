import { runCli } from "./cli/run_cli.ts";

void runCli(process.argv.slice(2), {
  out: (text) => console.log(text),
  err: (text) => console.error(text),
  env: process.env,
}).then((code) => {
  process.exitCode = code;
});

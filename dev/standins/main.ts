import { Command } from "commander";
import { PlatformStandin } from "./platform_standin.ts";
import { UpstreamStandin } from "./upstream_standin.ts";

const program = new Command("standins")
  .description("small replacements for the systems around the router");

program.command("platform")
  .requiredOption("--port <port>", "loopback port", Number)
  .action(async ({ port }: { port: number }) => {
    const url = await new PlatformStandin().start(port);
    console.log(`platform stand-in listens on ${url}`);
  });

program.command("upstream")
  .requiredOption("--port <port>", "loopback port", Number)
  .requiredOption("--options <json>", "behaviour as JSON")
  .action(async ({ port, options }: { port: number; options: string }) => {
    const standin = new UpstreamStandin(
      JSON.parse(options) as ConstructorParameters<typeof UpstreamStandin>[0],
    );
    console.log(`upstream stand-in listens on ${await standin.start(port)}`);
  });

void program.parseAsync();

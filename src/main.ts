import { Command } from "commander";
import { serveCommand } from "./cli/serve_command.ts";

const program = new Command("fescuerun").version("0.1.0")
  .addCommand(serveCommand());
void program.parseAsync();

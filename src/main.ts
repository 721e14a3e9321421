import { Command } from "commander";

const program = new Command("fescuerun").version("0.1.0");
program.parse();

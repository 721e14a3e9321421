// Replaces zod's index of all locales in the router's bundle.
export { default as en } from "zod/v4/locales/en.js";

export { default as en } from "zod/v4/locales/en.js";

import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";
import { oneExportRule } from "./scripts/one_export_rule.mjs";

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/", "scripts/", "*.mjs"] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        project: "./tsconfig.json",
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { tsdoc, local: { rules: { "one-export": oneExportRule } } },
    rules: {
      "tsdoc/syntax": "error",
      "local/one-export": "error",
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "@typescript-eslint/consistent-type-definitions": "off",
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-redeclare": "off",
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true, allowBoolean: true },
      ],
      "@typescript-eslint/no-confusing-void-expression": [
        "error",
        { ignoreArrowShorthand: true },
      ],
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: "variable",
          modifiers: ["const", "global"],
          format: ["camelCase", "UPPER_CASE", "PascalCase"],
        },
        { selector: "typeLike", format: ["PascalCase"] },
        { selector: "function", format: ["camelCase"] },
      ],
      eqeqeq: "error",
      "no-console": "error",
    },
  },
  {
    files: ["dev/**/*.ts", "src/cli/**/*.ts", "src/main.ts"],
    rules: { "no-console": "off" },
  },
  {
    files: ["tests/**/*.ts"],
    rules: {
      "@typescript-eslint/no-floating-promises": "off",
      "@typescript-eslint/no-non-null-assertion": "off",
    },
  },
);

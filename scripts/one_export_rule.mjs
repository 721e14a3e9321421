/**
 * ESLint rule: a module has one export. A value and a type of the same name
 * count as one, so that a schema and its type can be exported together.
 */
export const oneExportRule = {
  meta: {
    type: "suggestion",
    messages: {
      tooMany: "This file exports {{names}}; a file has one export.",
      reExport: "A file does not re-export from another module.",
    },
    schema: [],
  },
  create(context) {
    const names = new Set();
    function addNames(declaration) {
      if (declaration.type === "VariableDeclaration") {
        for (const declarator of declaration.declarations) {
          names.add(declarator.id.name);
        }
      } else {
        names.add(declaration.id?.name);
      }
    }
    return {
      ExportAllDeclaration(node) {
        context.report({ node, messageId: "reExport" });
      },
      ExportNamedDeclaration(node) {
        if (node.source !== null) {
          context.report({ node, messageId: "reExport" });
        }
        if (node.declaration !== null) addNames(node.declaration);
        for (const specifier of node.specifiers) {
          names.add(specifier.exported.name);
        }
      },
      ExportDefaultDeclaration() {
        names.add("default");
      },
      "Program:exit"(node) {
        if (names.size > 1) {
          context.report({
            node,
            messageId: "tooMany",
            data: { names: [...names].join(", ") },
          });
        }
      },
    };
  },
};

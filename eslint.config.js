import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "dist/**",
            "target/**",
            "deploy/**",
            "node_modules/**",
            "vitest.config.ts",
            "eslint.config.js",
        ],
    },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/only-throw-error": ["error", { allow: ["SpecificErrorInstance"] }],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                {
                    selector: "memberLike",
                    modifiers: ["private"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
        },
    },
);

/** Fills in a settings template as DEPLOY.md describes it: the parts that `deploy/settings.jsonc` uses. */

/** Fills in a template from the fields of a process. */
export function render(template: string, fields: unknown): string {
    const withLists = template.replace(
        /\{\{#([\w.-]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (_, path: string, section: string) => {
            const found = valueAt(fields, path);
            const list: readonly unknown[] = Array.isArray(found) ? found : [];
            return list.map((item, i) =>
                section.replaceAll("{{,}}", i < list.length - 1 ? "," : "").replaceAll(
                    "{{.|json}}",
                    () => JSON.stringify(item),
                )
            ).join("");
        },
    );
    return withLists.replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, path: string, json: string | undefined) => {
        const value = valueAt(fields, path);
        if (value === undefined) {
            return "";
        }
        return json === undefined && typeof value === "string" ? value : JSON.stringify(value);
    });
}

function valueAt(fields: unknown, path: string): unknown {
    return path.split(".").reduce(
        (value: unknown, key) => (value as Readonly<Record<string, unknown>> | undefined)?.[key],
        fields,
    );
}

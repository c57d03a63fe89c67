/** Parses JSON that others wrote; undefined for a text that is none, which no schema accepts. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // The caller checks the value against a schema, and says or counts what it does about a malformed one.
        return undefined;
    }
}

/** Parses JSON from outside the process. Returns undefined, which no schema accepts, if the text is not valid JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Not reported here: the caller validates the value against a schema and logs or counts malformed ones.
        return undefined;
    }
}

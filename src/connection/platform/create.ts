/** Creates the platform adapter that the settings select. */
import { readFile } from "node:fs/promises";
import type { Platform } from "../../process/platform.js";
import type { Settings } from "../../process/settings.js";
import { EmbeddedPlatform } from "./embedded.js";
import { HttpPlatform } from "./http.js";

/** Creates the adapter for the configured platform; rejects when its token file cannot be read. */
export async function createPlatform({ platform }: Settings): Promise<Platform> {
    switch (platform.kind) {
        case "embedded":
            return EmbeddedPlatform.create({ vms: platform.vms, pools: platform.pools });
        case "http": {
            const { url, tokenFile } = platform;
            const token = tokenFile === undefined ? undefined : (await readFile(tokenFile, "utf8")).trim();
            return HttpPlatform.create({ url, ...(token !== undefined && { token }) });
        }
    }
}

/** `npm run standin:worker`: runs one stand-in worker as a separate process. */
import { parseArgs } from "node:util";
import { parsePortFlag } from "./port-flag.js";
import { StandinWorker } from "./worker.js";

const { values } = parseArgs({
    options: {
        vm: { type: "string", default: "worker-0" },
        port: { type: "string", default: "7200" },
        "service-ms": { type: "string", default: "30" },
    },
});

const worker = StandinWorker.create({ vm: values.vm, serviceMs: () => Number(values["service-ms"]) });
await worker.start(parsePortFlag(values.port));
console.log(`worker ${values.vm} listening on ${worker.origin}, boot id ${worker.bootId}`);
process.once("SIGTERM", () => void worker.stop().then(() => process.exit(0)));

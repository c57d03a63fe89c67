/** Adapter to a platform that provides its tables, objects and VM actions over HTTP. */
import { type Dispatcher, Pool } from "undici";
import { PlatformError } from "../../process/errors.js";
import type { Platform, TransactResult, Usage, VmList } from "../../process/platform.js";
import type { Row, Write } from "../../process/store.js";

/** Options of `HttpPlatform.create`. */
export interface HttpPlatformOptions {
    readonly url: string;
    /** Bearer token; without one, calls carry no authorization. */
    readonly token?: string;
    /** Maximum number of connections to the platform. */
    readonly connections?: number;
    /** Timeout for the headers of an answer, and between the chunks of its body, in milliseconds. */
    readonly timeoutMs?: number;
}

interface HttpAnswer {
    readonly status: number;
    readonly body: Buffer;
}

const statusOk = 200;
const statusNotFound = 404;
const statusConflict = 409;
const statusMultipleChoices = 300;

/** Client of a platform over HTTP. */
export class HttpPlatform implements Platform {
    private readonly pool: Pool;

    private constructor(private readonly options: HttpPlatformOptions) {
        const { url, connections = 16, timeoutMs = 3000 } = options;
        this.pool = new Pool(url, { connections, headersTimeout: timeoutMs, bodyTimeout: timeoutMs });
    }

    static create(options: HttpPlatformOptions): HttpPlatform {
        return new HttpPlatform(options);
    }

    /** Closes the connections; calls in progress fail. */
    close(): Promise<void> {
        return this.pool.destroy();
    }

    async get(key: string): Promise<Row | undefined> {
        const answer = await this.call("GET", `/tables/rows/${encodeURIComponent(key)}`);
        return answer.status === statusNotFound ? undefined : readJson<Row>(answer);
    }

    async scan(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
        const query = new URLSearchParams({ prefix, after, limit: String(limit) });
        return readJson<readonly Row[]>(await this.call("GET", `/tables/rows?${query.toString()}`));
    }

    async transact(writes: readonly Write[]): Promise<TransactResult> {
        const answer = await this.call("POST", "/tables/transact", JSON.stringify({ writes }));
        return readJson<TransactResult>(answer, statusConflict);
    }

    async putObject(key: string, body: Buffer): Promise<void> {
        expectOk(await this.call("PUT", `/objects/${encodeURIComponent(key)}`, body));
    }

    async getObject(key: string): Promise<Buffer | undefined> {
        const answer = await this.call("GET", `/objects/${encodeURIComponent(key)}`);
        if (answer.status === statusNotFound) {
            return undefined;
        }
        expectOk(answer);
        return answer.body;
    }

    async deleteObject(key: string): Promise<void> {
        expectOk(await this.call("DELETE", `/objects/${encodeURIComponent(key)}`), statusNotFound);
    }

    async listVms(): Promise<VmList> {
        return readJson<VmList>(await this.call("GET", "/vms"));
    }

    async listUsage(): Promise<readonly Usage[]> {
        return readJson<readonly Usage[]>(await this.call("GET", "/usage"));
    }

    async drain(vm: string): Promise<void> {
        expectOk(await this.call("POST", `/vms/${encodeURIComponent(vm)}/drain`));
    }

    async undrain(vm: string): Promise<void> {
        expectOk(await this.call("POST", `/vms/${encodeURIComponent(vm)}/undrain`));
    }

    async reboot(vm: string, ifBootId: string): Promise<boolean> {
        const path = `/vms/${encodeURIComponent(vm)}/reboot`;
        const answer = await this.call("POST", path, JSON.stringify({ ifBootId }));
        if (answer.status === statusConflict) {
            return false;
        }
        expectOk(answer);
        return true;
    }

    async moveVm(vm: string, pool: string): Promise<void> {
        const path = `/vms/${encodeURIComponent(vm)}/move`;
        expectOk(await this.call("POST", path, JSON.stringify({ pool })));
    }

    private async call(
        method: Dispatcher.HttpMethod,
        path: string,
        body?: string | Buffer,
    ): Promise<HttpAnswer> {
        const { token } = this.options;
        const headers = token === undefined ? {} : { authorization: `Bearer ${token}` };
        try {
            const res = await this.pool.request({
                method,
                path,
                headers,
                ...(body === undefined ? {} : { body }),
            });
            return { status: res.statusCode, body: Buffer.from(await res.body.arrayBuffer()) };
        }
        catch (err) {
            throw new PlatformError(
                `platform did not answer ${method} ${path}; check its address and its state`,
                {
                    cause: err,
                },
            );
        }
    }
}

function expectOk(answer: HttpAnswer, alsoAccepted = statusOk): void {
    const isSuccess = answer.status >= statusOk && answer.status < statusMultipleChoices;
    if (!isSuccess && answer.status !== alsoAccepted) {
        throw new PlatformError(`platform answered with status ${answer.status}; check its state`);
    }
}

function readJson<T>(answer: HttpAnswer, alsoAccepted = statusOk): T {
    expectOk(answer, alsoAccepted);
    try {
        return JSON.parse(answer.body.toString()) as T;
    }
    catch (err) {
        throw new PlatformError("platform answered with a body that is not JSON; check its address", {
            cause: err,
        });
    }
}

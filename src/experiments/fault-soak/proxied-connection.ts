import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {resetSocket} from '../../platform/testing/index.js';

/** Network fault that a proxy imposes on the connections through it. */
export type LinkFault =
	/** Bytes arrive late, but in order. */
	| 'delay'
	/** Bytes from the client are held until the fault ends. */
	| 'cut-forward'
	/** Bytes from the upstream server are held until the fault ends. */
	| 'cut-backward'
	/** Connections open at the start of the fault drop all further bytes, also after its end. */
	| 'silence'
	/** Connections open at the start of the fault are reset. */
	| 'reset';

/** Current fault of a proxy, with a promise for its next change. */
export type FaultState = {
	readonly current: LinkFault | undefined;
	/** Resolves when this state is replaced by the next. */
	readonly changed: Promise<void>;
};

const delayMs = 120;

/**
 * Forwards bytes, ends, errors and closes between the two sockets of a proxied connection, in order
 * and subject to the fault in force.
 */
export class ProxiedConnection {
	private isSilent = false;

	constructor(
		private readonly client: Socket,
		private readonly upstream: Socket,
		private readonly state: () => FaultState,
	) {
		this.forward(client, upstream, 'cut-forward');
		this.forward(upstream, client, 'cut-backward');
	}

	/** Drops everything that has not been forwarded yet, for good, with both sockets left open. */
	silence(): void {
		this.isSilent = true;
	}

	/** Resets both sockets. */
	reset(): void {
		resetSocket(this.client);
		resetSocket(this.upstream);
	}

	private forward(from: Socket, to: Socket, cut: LinkFault) {
		let lastDelivery = Promise.resolve();
		const enqueue = (deliver: () => void) => {
			const previousDelivery = lastDelivery;
			const arrivedMs = performance.now();
			lastDelivery = (async () => {
				await previousDelivery;
				await this.waitForFault(cut, arrivedMs);
				if (!this.isSilent) {
					deliver();
				}
			})();
		};

		from.on('data', (chunk) => {
			enqueue(() => to.write(chunk));
		});
		from.on('end', () => {
			enqueue(() => to.end());
		});
		from.on('error', () => {
			enqueue(() => {
				resetSocket(to);
			});
		});
		from.on('close', () => {
			enqueue(() => {
				to.destroySoon();
			});
		});
	}

	/** Waits until the current fault lets through bytes that arrived at the given time. */
	private async waitForFault(cut: LinkFault, arrivedMs: number) {
		while (this.state().current === cut) {
			await this.state().changed;
		}

		if (this.state().current === 'delay') {
			await sleep(Math.max(0, arrivedMs + delayMs - performance.now()));
		}
	}
}

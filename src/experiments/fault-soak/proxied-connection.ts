import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {resetSocket} from '../../platform/testing/index.js';

/** What a proxy does to the connections that pass it. */
export type LinkFault =
	/** Bytes arrive late, in order. */
	| 'delay'
	/** Bytes towards the listener are held until the fault ends. */
	| 'cut-forward'
	/** Bytes from the listener are held until the fault ends. */
	| 'cut-backward'
	/** Connections that are open at the start of the fault carry nothing more, ever. */
	| 'silence'
	/** Connections that are open at the start of the fault are reset. */
	| 'reset';

/** The fault of a proxy at present, and its next change. */
export type FaultState = {
	readonly current: LinkFault | undefined;
	/** Resolves when the fault changes. */
	readonly changed: Promise<void>;
};

const delayMs = 120;

/** A connection through a proxy: two sockets and what is under way between them. */
export class ProxiedConnection {
	private isSilent = false;

	constructor(
		private readonly near: Socket,
		private readonly far: Socket,
		private readonly state: () => FaultState,
	) {
		this.forward(near, far, 'cut-forward');
		this.forward(far, near, 'cut-backward');
	}

	silence(): void {
		this.isSilent = true;
	}

	reset(): void {
		resetSocket(this.near);
		resetSocket(this.far);
	}

	private forward(from: Socket, to: Socket, cut: LinkFault) {
		let last = Promise.resolve();
		const pass = (deliver: () => void) => {
			const before = last;
			const arrivedMs = performance.now();
			last = (async () => {
				await before;
				await this.hold(cut, arrivedMs);
				if (!this.isSilent) {
					deliver();
				}
			})();
		};

		from.on('data', (chunk) => {
			pass(() => to.write(chunk));
		});
		from.on('end', () => {
			pass(() => to.end());
		});
		from.on('error', () => {
			pass(() => {
				resetSocket(to);
			});
		});
		from.on('close', () => {
			pass(() => {
				to.destroySoon();
			});
		});
	}

	private async hold(cut: LinkFault, arrivedMs: number) {
		while (this.state().current === cut) {
			await this.state().changed;
		}

		if (this.state().current === 'delay') {
			await sleep(Math.max(0, arrivedMs + delayMs - performance.now()));
		}
	}
}

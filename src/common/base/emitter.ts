import type {Disposable} from './disposable.js';

/** Registers a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Owner's side of an event. */
export type Emitter<T> = Disposable & {
	readonly event: Event<T>;
	fire(value: T): void;
};

/** Creates an emitter without listeners. */
export function createEmitter<T>(): Emitter<T> {
	const listeners = new Set<(value: T) => void>();
	return {
		event(listener) {
			listeners.add(listener);
			return {
				dispose() {
					listeners.delete(listener);
				},
			};
		},
		fire(value) {
			for (const listener of listeners) {
				listener(value);
			}
		},
		dispose() {
			listeners.clear();
		},
	};
}

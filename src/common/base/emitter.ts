import type {Disposable} from './disposable.js';

/** Registers a listener. Disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Fires an event; its owner exposes only `event` to listeners. Disposing it removes all listeners. */
export type Emitter<T> = Disposable & {
	readonly event: Event<T>;
	fire(value: T): void;
};

/** Combines two events; listeners get the values of both. */
export const eitherEvent =
	<T>(first: Event<T>, second: Event<T>): Event<T> =>
	(listener) => {
		const registrations = [first(listener), second(listener)];
		return {
			dispose() {
				for (const registration of registrations) {
					registration.dispose();
				}
			},
		};
	};

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

const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const maxOctet = 255;
const maxPort = 65_535;

/** True for an IPv4 address and a port that can be connected to, as `address:port`. */
export function isSocketAddress(text: string): boolean {
	const numbers = addressPattern.exec(text)?.slice(1).map(Number);
	const port = numbers?.pop() ?? 0;
	return (
		numbers !== undefined &&
		numbers.every((octet) => octet <= maxOctet) &&
		port > 0 &&
		port <= maxPort
	);
}

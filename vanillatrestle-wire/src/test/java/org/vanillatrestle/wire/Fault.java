package org.vanillatrestle.wire;

/**
 * What may happen to one message of a link.
 */
enum Fault {

	LOST, LATE, TWICE, OUT_OF_ORDER, RESET_BEFORE, RESET_DURING, RESET_AFTER, SENDER_KILLED, RECEIVER_KILLED

}

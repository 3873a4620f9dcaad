package org.vanillatrestle.wire.internal.link;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.vanillatrestle.wire.generated.peer.Envelope;

/**
 * The sending side of a link, as its streams see it. Used on the link's event loop only.
 */
interface LinkWriter {

	ChannelFuture write(Envelope envelope);

	boolean isWritable();

	void whenWritable(Runnable action);

	void violated(String message);

	EventLoop loop();

}

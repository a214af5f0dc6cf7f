package org.cuminshelf.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a reset is a failure. Jetty's own end point reports it like an orderly close, so that a
 * response without a stated length would pass for complete though its upstream has crashed.
 */
final class ResetAwareConnector extends ClientConnector {

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {

        private ResetAwareEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            int count;
            try {
                count = getChannel().read(buffer);
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
            if (count < 0) {
                shutdownInput();
            } else if (count > 0) {
                notIdle();
            }
            return count;
        }
    }
}

package org.cuminshelf.exchange;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.tinylog.Logger;

/** Whether the close of a connection is orderly or a reset, also if the process is killed. */
final class CloseBehaviour {

    private static final int RESET = 0;
    private static final int ORDERLY = -1;

    private CloseBehaviour() {}

    /** Makes the close a reset, which discards the bytes in the send buffer instead of delivering them later. */
    static void reset(EndPoint endPoint) {
        setLinger(endPoint, RESET);
    }

    /** Makes the close an orderly one, which delivers all bytes, as it is for a new connection. */
    static void orderly(EndPoint endPoint) {
        setLinger(endPoint, ORDERLY);
    }

    private static void setLinger(EndPoint endPoint, int seconds) {
        if (endPoint.getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, seconds);
            } catch (IOException alreadyClosed) {
                Logger.debug(
                        "exchange: The connection was closed before its close could be set: {}.",
                        alreadyClosed.getMessage());
            }
        }
    }
}

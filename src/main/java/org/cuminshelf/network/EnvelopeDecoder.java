package org.cuminshelf.network;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.cuminshelf.message.Envelope;

/** Decodes the payload of frames into messages. An empty frame is a heartbeat, decoded to an empty message. */
final class EnvelopeDecoder extends MessageToMessageDecoder<ByteBuf> {

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> messages) throws IOException {
        messages.add(Envelope.parseFrom(new ByteBufInputStream(frame, frame.readableBytes())));
    }
}

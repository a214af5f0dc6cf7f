package org.cuminshelf.network;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.cuminshelf.message.Envelope;

/**
 * Turns messages into frames: a four-byte length and the protobuf form. Netty's own protobuf handlers need the full
 * protobuf runtime; the lite one saves memory in sidecars.
 */
final class EnvelopeEncoder extends MessageToByteEncoder<Envelope> {

    @Override
    protected void encode(ChannelHandlerContext context, Envelope message, ByteBuf target) throws IOException {
        int size = message.getSerializedSize();
        target.ensureWritable(Integer.BYTES + size);
        target.writeInt(size);
        CodedOutputStream stream = CodedOutputStream.newInstance(new ByteBufOutputStream(target));
        message.writeTo(stream);
        stream.flush();
    }
}

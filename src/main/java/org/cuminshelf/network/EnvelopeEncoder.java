package org.cuminshelf.network;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.cuminshelf.message.Envelope;

/**
 * Encodes messages as frames: a four-byte length followed by the serialized protobuf message. Replaces the protobuf
 * handlers of Netty, which need the full protobuf runtime; the lite runtime saves memory in sidecars.
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

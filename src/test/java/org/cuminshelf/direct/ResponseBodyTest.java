package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import net.jqwik.api.Example;

/** Guards against an answer in pieces of a byte each that takes many times its size. */
class ResponseBodyTest {

    private static final int SIZE = 1_000_000;
    private static final int MAX_UNUSED_BYTES = 64 << 10;

    @Example
    void aBodyInPiecesOfAByteTakesHardlyMoreThanItsSize() {
        ResponseBody body = new ResponseBody();
        for (int index = 0; index < SIZE; index++) {
            body.add(ByteBuffer.wrap(new byte[] {(byte) index}));
        }
        assertThat(body.size()).isEqualTo(SIZE);
        assertThat(body.capacity()).isLessThanOrEqualTo(SIZE + MAX_UNUSED_BYTES);
        byte[] whole = body.toByteArray();
        assertThat(whole).hasSize(SIZE);
        assertThat(whole[SIZE - 1]).isEqualTo((byte) (SIZE - 1));
    }

    @Example
    void piecesOfAnySizeKeepTheirOrder() {
        ResponseBody body = new ResponseBody();
        ByteBuffer expected = ByteBuffer.allocate(3 * SIZE);
        for (int length = 1; expected.remaining() > length; length = length * 3 + 1) {
            byte[] piece = new byte[length];
            Arrays.fill(piece, (byte) length);
            expected.put(piece);
            body.add(ByteBuffer.wrap(piece));
        }
        assertThat(ByteBuffer.wrap(body.toByteArray())).isEqualTo(expected.flip());
    }
}

package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests the splitting of a byte stream into complete events. */
class EventSplitterTest {

    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\rid: 4\ndata: d\n\nid: 5\nda";

    @Property(seed = "41", tries = 100)
    void eventsDoNotDependOnHowTheBytesAreChunked(@ForAll @IntRange(min = 1, max = 20) int chunkSize) {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        StringBuilder events = new StringBuilder();
        int count = 0;
        for (int at = 0; at < bytes.length; at += chunkSize) {
            splitter.add(ByteBuffer.wrap(bytes, at, Math.min(chunkSize, bytes.length - at)));
            var event = splitter.next();
            while (event.isPresent()) {
                events.append(new String(event.get().bytes(), StandardCharsets.UTF_8));
                assertThat(event.get().id()).hasValue(++count);
                event = splitter.next();
            }
        }
        assertThat(count).isEqualTo(4);
        assertThat(events.toString() + new String(splitter.remainder(), StandardCharsets.UTF_8))
                .isEqualTo(STREAM);
    }
}

package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.routes.RouteTable;

/** Tests the thread that parses configurations. */
class BackgroundConfigReaderTest {

    private static final byte[] DOCUMENT =
            DocumentCompression.deflate(ByteString.copyFromUtf8("{}")).toByteArray();

    private final BlockingQueue<Optional<RouteTable>> results = new LinkedBlockingQueue<>();

    private static Optional<RouteTable> fail(byte[] document) {
        throw new IllegalStateException("a parser that fails in this test");
    }

    private static Optional<RouteTable> overflow(byte[] document) {
        return overflow(document);
    }

    /* Guards against an entry that fetches no configuration any more after its parser has failed once. */
    @Example
    void aDocumentThatMakesTheParserFailIsReportedAsUnreadable() throws Exception {
        try (BackgroundConfigReader reader =
                new BackgroundConfigReader(new ReentrantLock(), BackgroundConfigReaderTest::fail, () -> {})) {
            reader.read(DOCUMENT, results::add);
            assertThat(results.poll(5, TimeUnit.SECONDS)).isNotNull().isEmpty();
        }
    }

    /* Guards against an entry that fetches no configuration any more after one with too many levels. */
    @Example
    void aDocumentThatIsNestedTooDeeplyIsReportedAsUnreadable() throws Exception {
        try (BackgroundConfigReader reader =
                new BackgroundConfigReader(new ReentrantLock(), BackgroundConfigReaderTest::overflow, () -> {})) {
            reader.read(DOCUMENT, results::add);
            assertThat(results.poll(5, TimeUnit.SECONDS)).isNotNull().isEmpty();
        }
    }
}

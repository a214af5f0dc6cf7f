package org.cuminshelf.sidecar;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.ExchangeHead;

/** One attempt in the journal of a sidecar, with the part of its answer that the entry hasn't confirmed. */
final class AttemptRecord {

    /** What the journal guarantees about an attempt. */
    enum State {
        /** Has not started and never will: a late dispatch is refused. */
        FORBIDDEN,
        RUNNING,
        ENDED
    }

    final long id;
    final EntrySession session;
    final long number;
    State state;
    /** Number of tokens that the caller had received before this attempt. */
    long initialLength;

    long promptTokens;
    /**
     * Prompt tokens that the upstream has yet to process, by the entry's estimate; 0 from the first output token on.
     */
    long pendingPromptTokens;

    final List<String> tokens = new ArrayList<>();
    ExchangeHead head;
    ByteString body = ByteString.EMPTY;
    Ended ended;
    /** Whether the attempt was ended so that it continues on another engine. */
    boolean moved;
    /** When the last tokens arrived, in nanoseconds. */
    long lastTokensAt;

    private AttemptRecord(long id, EntrySession session, long number, State state) {
        this.id = id;
        this.session = session;
        this.number = number;
        this.state = state;
    }

    /** Creates the record of an attempt that is handed to the upstream. */
    static AttemptRecord running(long id, EntrySession session, Dispatch dispatch) {
        AttemptRecord attempt = new AttemptRecord(id, session, dispatch.getNumber(), State.RUNNING);
        attempt.initialLength = dispatch.getGeneration().getHeldCount();
        attempt.promptTokens = dispatch.getGeneration().getPromptTokens();
        attempt.pendingPromptTokens = dispatch.getPromptCost();
        return attempt;
    }

    /** Creates the record of an attempt that must not start. */
    static AttemptRecord forbidden(EntrySession session, long number) {
        return new AttemptRecord(0, session, number, State.FORBIDDEN);
    }

    /** Length of the answer so far in tokens or bytes, counted from the start of the call. */
    long length() {
        return initialLength + tokens.size() + body.size();
    }
}

package org.cuminshelf.sidecar;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.ExchangeHead;

/** One attempt in the journal of a sidecar. */
final class AttemptRecord {

    /** What the journal can swear of an attempt. */
    enum State {
        /** Never started and never will: a late dispatch is refused. */
        FORBIDDEN,
        RUNNING,
        ENDED
    }

    final long id;
    final EntrySession session;
    final long number;
    State state;
    /** Tokens the caller held before this attempt. */
    long firstOffset;

    long promptTokens;
    /** Prompt tokens still to be taken in, as the entry expected; 0 from the first token on. */
    long promptWaiting;

    final List<String> tokens = new ArrayList<>();
    ExchangeHead head;
    ByteString body = ByteString.EMPTY;
    Ended ended;
    boolean moved;
    /** When the last tokens came. */
    long lastTokensAt;

    private AttemptRecord(long id, EntrySession session, long number, State state) {
        this.id = id;
        this.session = session;
        this.number = number;
        this.state = state;
    }

    /** An attempt handed to the upstream. */
    static AttemptRecord running(long id, EntrySession session, Dispatch dispatch) {
        AttemptRecord row = new AttemptRecord(id, session, dispatch.getNumber(), State.RUNNING);
        row.firstOffset = dispatch.getGeneration().getHeldCount();
        row.promptTokens = dispatch.getGeneration().getPromptTokens();
        row.promptWaiting = dispatch.getPromptCost();
        return row;
    }

    /** An attempt that must not start any more. */
    static AttemptRecord forbidden(EntrySession session, long number) {
        return new AttemptRecord(0, session, number, State.FORBIDDEN);
    }

    /** Length of the answer so far, counted from the start of the call. */
    long length() {
        return firstOffset + tokens.size() + body.size();
    }
}

package gorsemast.modelcheck;

import gorsemast.store.Member;
import gorsemast.store.Message;
import gorsemast.store.Message.Append;
import gorsemast.store.Message.AppendAck;
import gorsemast.store.Message.Confirm;
import gorsemast.store.Message.ConfirmAck;
import gorsemast.store.Message.Install;
import gorsemast.store.Message.RequestVote;
import gorsemast.store.Message.ViewChange;
import gorsemast.store.Message.Vote;
import gorsemast.store.Message.VoteRefused;
import gorsemast.store.StoredVersion;
import gorsemast.store.VersionHistory;
import gorsemast.store.View;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** The planted defects that lie in messages: what is sent in place of the right one. One thread. */
final class SpoiledMessages {
    private static final long FAR = Long.MAX_VALUE / 4;
    private static final long TERMS_AHEAD = 1_000;

    private final Plant plant;
    /** The term in which each content was first seen under its number. */
    private final Map<String, Long> firstTerms = new HashMap<>();

    SpoiledMessages(Plant plant) {
        this.plant = plant;
    }

    /**
     * What is sent in place of a message; null for nothing.
     *
     * @param lastAsked the term that was last asked for by anybody
     */
    Message spoiled(Message message, long lastAsked) {
        if (plant == Plant.VOTE_WITHOUT_KEPT && message instanceof Vote vote) {
            return new Vote(vote.from(), vote.term(), null);
        }
        if (plant == Plant.INSTALL_WITHOUT_KEPT && message instanceof Install install) {
            return new Install(install.from(), install.term(), install.view(), StoredVersion.NONE);
        }
        if (plant == Plant.REFUSAL_COUNTS_AS_VOTE && message instanceof VoteRefused refused) {
            return new Vote(refused.from(), lastAsked, null);
        }
        if ((plant == Plant.COPIED_WITHOUT_COPY || plant == Plant.NO_BACKUP) && message instanceof Append) {
            return null;
        }
        if (plant == Plant.VIEW_OF_ONE && message instanceof ViewChange change) {
            return new ViewChange(change.from(), ofOne(change.view()));
        }
        if (plant == Plant.VIEW_OF_ONE && message instanceof Install install) {
            return new Install(install.from(), install.term(), ofOne(install.view()), install.stored());
        }
        if (plant == Plant.TERMS_IGNORED && message instanceof RequestVote request) {
            return new RequestVote(
                    request.from(),
                    request.term() + TERMS_AHEAD,
                    FAR,
                    new StoredVersion(FAR, 0, new byte[0], VersionHistory.NONE));
        }
        if (plant == Plant.NUMBERS_FORGOTTEN) {
            return handsOver(
                    message, held -> new StoredVersion(held.version(), held.term(), held.body(), VersionHistory.NONE));
        }
        if (plant == Plant.FIRST_TERM_STAYS) {
            return handsOver(message, this::ofItsFirstTerm);
        }
        return message;
    }

    private StoredVersion ofItsFirstTerm(StoredVersion held) {
        long first = firstTerms.computeIfAbsent(held.version() + " " + held.digest(), name -> held.term());
        return new StoredVersion(held.version(), first, held.body(), held.history());
    }

    /** A message with another configuration in the place of the one that it hands over. */
    private static Message handsOver(Message message, UnaryOperator<StoredVersion> spoil) {
        if (message instanceof Vote vote && vote.newer() != null) {
            return new Vote(vote.from(), vote.term(), spoil.apply(vote.newer()));
        }
        if (message instanceof Install install) {
            return new Install(install.from(), install.term(), install.view(), spoil.apply(install.stored()));
        }
        if (message instanceof Append append) {
            return new Append(append.from(), append.term(), append.round(), spoil.apply(append.stored()));
        }
        return message;
    }

    private static View ofOne(View view) {
        return new View(
                view.term(), view.primary(), view.backups(), view.members().subList(0, 1), List.of());
    }

    /** The answer of a backup that looks at no term; null where that defect is not planted, or nothing is asked. */
    Message answerInAnyTerm(Message message, Member backup) {
        if (plant != Plant.ANSWERS_ANY_TERM) {
            return null;
        }
        if (message instanceof Append append) {
            return new AppendAck(backup, append.term(), append.round());
        }
        if (message instanceof Confirm confirm) {
            return new ConfirmAck(backup, confirm.term(), confirm.round());
        }
        return null;
    }
}

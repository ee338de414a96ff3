package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** How readers of the log handle view records that are late, missing, or past retention. */
final class ViewLogTest {
    private static final long RETENTION_MS = 1_000;
    private static final Member A = new Member("a:1", 1);
    private static final Member B = new Member("b:1", 1);

    private static DomainView root(long numberAndTime, long uid, Member member) {
        return new DomainView(
                numberAndTime, uid, DomainView.NO_PARENT, List.of(member), List.of(), 0);
    }

    private static DomainView next(DomainView parent, long uid, Member... members) {
        return new DomainView(
                parent.number() + 1, uid, parent.uid(), List.of(members), List.of(), 0);
    }

    private static LoggedView proposed(long offset, DomainView view, long atMs) {
        return new LoggedView(offset, ViewRecord.proposal("fd", view), atMs, 0);
    }

    private static LoggedView stated(long offset, DomainView view, long asOf, long atMs) {
        return new LoggedView(offset, ViewRecord.statement("fd", view, asOf), atMs, 0);
    }

    private static ViewLog readerFrom(long firstOffset, long nowMs) {
        ViewLog log = new ViewLog(RETENTION_MS);
        log.readFrom(firstOffset, nowMs);
        return log;
    }

    @Nested
    final class Races {
        @Test
        void theFirstProposalOnAParentWins() {
            ViewLog log = readerFrom(0, 0);
            DomainView root = root(10, 1, A);
            assertThat(log.apply(proposed(0, root, 11))).isTrue();
            assertThat(log.apply(proposed(1, next(root, 2, A, B), 12))).isTrue();
            assertThat(log.apply(proposed(2, next(root, 3, A), 13))).isFalse();
            assertThat(log.currentView().orElseThrow().uid()).isEqualTo(2);
        }
    }

    @Nested
    final class LateStatements {
        /**
         * A member resumes after a pause and states its old view again, although the next view has
         * taken effect. A VM that starts after the log's retention deleted the next view's proposal
         * would take the old view for the current one, and the members of both views could start
         * the same submission.
         */
        @Test
        void aReaderThatLacksLaterRecordsIgnoresAStatement() {
            DomainView root = root(10, 1, A);
            ViewLog reader = readerFrom(7, 900);
            assertThat(reader.apply(stated(8, root, 3, 800))).isFalse();
            assertThat(reader.currentView().isPresent()).isFalse();
        }

        @Test
        void aReaderWithAllLaterRecordsAlsoAppliesTheNextView() {
            DomainView root = root(10, 1, A);
            DomainView second = next(root, 2, A, B);
            ViewLog log = readerFrom(4, 900);
            log.apply(proposed(5, second, 700));
            assertThat(log.apply(stated(6, root, 4, 800))).isTrue();
            assertThat(log.currentView().orElseThrow()).isEqualTo(second);
        }

        @Test
        void aReaderNeverReturnsToAnOlderView() {
            DomainView root = root(10, 1, A);
            DomainView second = next(root, 2, A, B);
            ViewLog log = readerFrom(0, 0);
            log.apply(proposed(0, root, 11));
            log.apply(proposed(1, second, 12));
            log.readFrom(9, 2_000);
            assertThat(log.adopt(root)).isFalse();
            assertThat(log.apply(stated(9, root, 8, 2_001))).isFalse();
        }
    }

    @Nested
    final class LateFirstViews {
        /**
         * Two VMs find an empty log and both append a first view; the second record is appended
         * late. Its author is paused and resumes when the log's retention has deleted the first
         * record but not its own. If it took its own view for the first one, it could start the
         * same submissions as the other VM.
         */
        @Test
        void aFirstViewOlderThanTheReaderIsIgnored() {
            ViewLog reader = readerFrom(5, 1_600);
            assertThat(reader.apply(proposed(5, root(1_490, 2, B), 1_500))).isFalse();
        }

        @Test
        void aFirstViewAppendedLateIsIgnored() {
            ViewLog reader = readerFrom(0, 0);
            assertThat(reader.apply(proposed(0, root(10, 1, A), 300))).isFalse();
        }

        @Test
        void aFirstViewMayFollowAnExpiredOne() {
            ViewLog reader = readerFrom(0, 0);
            reader.apply(proposed(0, root(10, 1, A), 11));
            assertThat(reader.apply(proposed(1, root(900, 2, B), 901))).isFalse();
            assertThat(reader.apply(proposed(2, root(1_100, 3, B), 1_101))).isTrue();
        }
    }
}

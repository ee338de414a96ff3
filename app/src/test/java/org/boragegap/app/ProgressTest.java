package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unreadable progress in a file. When the output of a quick start was piped into a
 * file, all its progress was in one line of hundreds of words, since each step was written over the
 * one before, as on a terminal.
 */
final class ProgressTest {
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final PrintStream mOut = new PrintStream(mBytes, true, StandardCharsets.UTF_8);
    private long mNowMs;

    private List<String> lines() {
        return mBytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void pipedOutputHasAtMostOneLinePerSecondAndTheLastOne() {
        Progress progress = Progress.create(50, false, mOut, () -> mNowMs);
        for (int done = 1; done <= 50; done++) {
            mNowMs += 50;
            progress.update(done);
        }
        assertThat(lines())
                .containsExactly("20 of 50 answered", "40 of 50 answered", "50 of 50 answered")
                .inOrder();
    }

    @Test
    void onATerminalTheLineIsOverwritten() {
        Progress progress = Progress.create(2, true, mOut, () -> mNowMs);
        progress.update(1);
        progress.update(2);
        assertThat(mBytes.toString(StandardCharsets.UTF_8))
                .isEqualTo("\r1 of 2 answered\r2 of 2 answered" + System.lineSeparator());
    }
}

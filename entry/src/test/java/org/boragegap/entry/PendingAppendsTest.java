package org.boragegap.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Waiting for appends to the log at the end of a drain. */
final class PendingAppendsTest {
    private final PendingAppends mAppends = new PendingAppends();

    /** Guards against a drain that ends with an error because two threads wait for its end. */
    @Test
    void severalThreadsMayWaitForOneAppend() throws InterruptedException {
        Runnable answered = mAppends.begin();
        assertThat(mAppends.await(0)).isFalse();
        assertThat(mAppends.await(0)).isFalse();
        answered.run();
        assertThat(mAppends.await(0)).isTrue();
        assertThat(mAppends.await(0)).isTrue();
    }
}

package org.acaciapond.platform.client;

/**
 * Row of the table.
 *
 * @param key key
 * @param revision revision, from 1
 * @param value value
 */
public record Row(String key, long revision, byte[] value) {}

package org.acaciapond.platform.client;

/**
 * Row of the table service.
 *
 * @param key key
 * @param revision number that increases with each write, from 1
 * @param value value
 */
public record Row(String key, long revision, byte[] value) {}

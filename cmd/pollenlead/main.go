// Command pollenlead runs an entry instance.
package main

func main() {}

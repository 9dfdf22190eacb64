// Command lovage-entry is under construction.
package main

func main() {}

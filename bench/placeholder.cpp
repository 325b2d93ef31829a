namespace lagoondeck { }
